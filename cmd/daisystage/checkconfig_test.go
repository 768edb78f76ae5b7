package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// goodForwardConfig has no findings.
const goodForwardConfig = `{"version": 7,
 "routes": [{"name": "find", "host": "h.example", "path_prefix": "/find/", "type": "idempotent", "timeout_ms": 900, "backend": "x", "max_attempts": 2}],
 "services": [{"name": "x", "max_conns": 26}],
 "limits": {},
 "tenants": [{"name": "ada", "api_keys": ["SECRET-1", "SECRET-2"]}]}
`

// TestCheckConfig guards against wrong exit codes, and against keys in the output.
func TestCheckConfig(t *testing.T) {
	dir := t.TempDir()
	file := func(name, old, changed string) string {
		path := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(path, []byte(strings.Replace(goodForwardConfig, old, changed, 1)), 0o600))
		return path
	}
	good := file("good.json", "", "")
	warned := file("warned.json", `"max_attempts": 2`, `"max_attempts": 2, "min_coverage": 0.5`)
	wrong := file("wrong.json", `"timeout_ms": 900`, `"timeoutms": 900`)
	broken := file("broken.json", `"version": 7,`, `"version": 7`)
	older := file("older.json", `"version": 7`, `"version": 6, "comment": 1`)
	otherKeys := file("keys.json", goodForwardConfig,
		strings.NewReplacer(`"version": 7`, `"version": 6`, "SECRET-1", "SECRET-9", "26", "20").Replace(goodForwardConfig))
	tests := []struct {
		name string
		args []string
		code int
		out  string
	}{
		{"nothing found", []string{good}, exitOK, "good.json has no errors and no warnings"},
		{"a warning", []string{warned}, exitFailed, "warned.json:2:168: warning: routes[0].min_coverage: route find: a minimum coverage has no effect without shards [ignored_value]"},
		{"an error", []string{wrong}, exitFailed, `wrong.json:2:98: error: routes[0].timeoutms: unknown key; the nearest known key is "timeout_ms" [unknown_key]`},
		{"a syntax error", []string{broken}, exitFailed, "broken.json:2:2: error: "},
		{"a syntax error beside the version in force", []string{broken, "--against", older}, exitFailed, "broken.json:2:2: error: "},
		{"few connections", []string{good, "--entry-vms", "65"}, exitFailed, "good.json:3:42: warning: services[0].max_conns"},
		{"differences only", []string{good, "--against", otherKeys}, exitOK, "version 6 -> 7, 2 differences\n  services x: max_conns: 20 -> 26\n  tenants ada: api_keys: 1 added, 1 removed\n"},
		{"a version that is not higher", []string{good, "--against", good}, exitFailed, "version 7 is not higher than 7, the version in force"},
		{"standard input", []string{"-"}, exitOK, "standard input has no errors"},
		{"version in force from standard input", []string{older, "--against", "-"}, exitFailed, "version 6 is not higher than 7"},
		{"both from standard input", []string{"-", "--against", "-"}, exitUsage, ""},
		{"no such file", []string{filepath.Join(dir, "none.json")}, exitUsage, ""},
		{"a directory", []string{dir}, exitUsage, ""},
		{"no such version in force", []string{good, "--against", filepath.Join(dir, "none.json")}, exitUsage, ""},
		{"a broken version in force", []string{good, "--against", broken}, exitUsage, ""},
		{"no file", nil, exitUsage, ""},
		{"unknown flag", []string{good, "--colour"}, exitUsage, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, flags := range [][]string{nil, {"--json"}} {
				var out, errs bytes.Buffer
				args := append(append([]string{"check", "config"}, tt.args...), flags...)
				code := run(args, terminal{out: &out, err: &errs, in: strings.NewReader(goodForwardConfig)})
				assert.Equal(t, code, tt.code, "%s", errs.String())
				assert.Assert(t, !strings.Contains(out.String()+errs.String(), "SECRET"), "%s%s", out.String(), errs.String())
				if flags == nil {
					assert.Assert(t, strings.Contains(out.String(), tt.out), "%s", out.String())
				} else if code != exitUsage {
					assertReport(t, out.Bytes(), code)
				}
			}
		})
	}
}

// assertReport checks that the output for programs has findings if the exit code says so.
func assertReport(t *testing.T, text []byte, code int) {
	t.Helper()
	var report struct {
		Findings []struct {
			Severity, Code, Place, Message string
			Line, Column                   int
		}
	}
	assert.NilError(t, json.Unmarshal(text, &report))
	assert.Assert(t, report.Findings != nil)
	assert.Equal(t, len(report.Findings) > 0, code == exitFailed)
	for _, fi := range report.Findings {
		assert.Assert(t, fi.Severity != "" && fi.Code != "" && fi.Message != "" && fi.Line > 0 && fi.Column > 0, "%v", fi)
	}
}
