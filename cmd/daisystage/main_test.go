package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const goodConfig = `name = "a"
zone = "z"
caller_address = "127.0.0.1:1"
operator_address = "127.0.0.1:2"
entry_address = "127.0.0.1:3"
platform_addresses = ["127.0.0.1:4"]
peers = []
`

// TestExitCodes checks the exit code and error of valid and invalid command lines
// and files.
func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	good := file("good.toml", goodConfig)
	tests := []struct {
		name string
		args []string
		code int
		err  string
	}{
		{"valid config", []string{"check", "--config", good}, exitOK, ""},
		{"unknown key", []string{"serve", "--config", file("unknown.toml", goodConfig+"colour = 1\n")}, exitUsage, "unknown.toml:8: unknown key colour"},
		{"wrong type", []string{"check", "--config", file("type.toml", goodConfig+"receipts_kept = \"many\"\n")}, exitUsage, "type.toml:8"},
		{"out of range", []string{"check", "--config", file("range.toml", goodConfig+"max_body_bytes = 0\n")}, exitUsage, "range.toml:8: max_body_bytes: accepted is 1 to 67108864"},
		{"bad duration", []string{"check", "--config", file("duration.toml", goodConfig+"keep_for = \"soon\"\n")}, exitUsage, "duration.toml:8"},
		{"missing key", []string{"check", "--config", file("missing.toml", "zone = \"z\"\n")}, exitUsage, "name: accepted is"},
		{"same address twice", []string{"check", "--config", file("same.toml", strings.Replace(goodConfig, ":3", ":2", 1))}, exitUsage, "entry_address"},
		{"no such file", []string{"serve", "--config", filepath.Join(dir, "none.toml")}, exitUsage, "none.toml"},
		{"unknown flag", []string{"serve", "--colour"}, exitUsage, "colour"},
		{"unknown command", []string{"paint"}, exitUsage, "paint"},
		{"missing flag", []string{"serve"}, exitUsage, "--config"},
		{"query that is not JSON", []string{"query", "--entry", "x:1", "--team", "t", "--route", "r", "{"}, exitUsage, "not JSON"},
		{"request id that is no UUID", []string{"query", "--entry", "x:1", "--team", "t", "--route", "r", "--request-id", "7", "{}"}, exitUsage, "--request-id"},
		{"no listener at the entry address", []string{"query", "--entry", "127.0.0.1:1", "--team", "t", "--route", "r", "{}"}, exitFailed, "find the entries"},
		{"bad setting", []string{"check", "--path", "teams/a/routes/b", "--file", file("route.toml", "collection = \"x\"\nclass = \"fast\"\n")}, exitUsage, `teams/a/routes/b:2: class: accepted is "urgent" or "ordinary"`},
		{"bad path", []string{"check", "--path", "routes/b", "--file", file("ok.toml", "collection = \"x\"\n")}, exitUsage, "teams/<team>"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out, errs bytes.Buffer
			code := run(tt.args, terminal{out: &out, err: &errs, in: strings.NewReader("")})
			assert.Equal(t, code, tt.code, "%s", errs.String())
			assert.Assert(t, strings.Contains(errs.String(), tt.err), "%s", errs.String())
		})
	}
}

// TestHelpShowsExamples checks that the help of each subcommand has an example.
func TestHelpShowsExamples(t *testing.T) {
	for _, command := range []string{"serve", "check", "check entry", "check config", "settings put", "settings get", "settings log", "settings wait", "query", "explain", "dump", "demo"} {
		var out, errs bytes.Buffer
		code := run(append([]string{"help"}, strings.Fields(command)...), terminal{out: &out, err: &errs})
		assert.Equal(t, code, exitOK)
		assert.Assert(t, strings.Contains(out.String()+errs.String(), "Example"), command)
	}
}

// TestDemo checks that the demo runs to its end.
func TestDemo(t *testing.T) {
	var out, errs bytes.Buffer
	code := run([]string{"demo"}, terminal{out: &out, err: &errs})
	assert.Equal(t, code, exitOK, errs.String())
	assert.Assert(t, strings.Contains(out.String(), "30 shards"))
	assert.Assert(t, strings.Contains(out.String(), "The teacher asks again"))
}
