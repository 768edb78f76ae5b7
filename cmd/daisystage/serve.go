package main

import (
	"bytes"
	"fmt"
	"io"
	stdlog "log"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"daisystage.example/daisystage/internal/node/entryvm"
	"daisystage.example/daisystage/internal/node/events"
)

const usageServe = `Run the process of an entry VM until SIGTERM or SIGINT.

Stopping takes the sum of keep_for, stop_margin and drain_for in the config. It
cuts only requests that then run for two more minutes. A second signal does not
shorten it.

Example: daisystage serve --config entry.toml`

func addServe(app *kingpin.Application, tl terminal) {
	cmd := app.Command("serve", usageServe)
	config := cmd.Flag("config", "The entry.toml to run with.").Required().String()
	cmd.Action(action(func() error { return serve(*config, tl) }))
}

func serve(path string, tl terminal) error {
	cg, err := entryvm.ReadConfig(path)
	if err != nil {
		return usageError{err}
	}
	limitMemory(cg.MemoryMB)
	log, err := newLogger(cg.LogLevel, cg.LogFormat, tl.err)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	stdlog.SetFlags(0)
	stdlog.SetOutput(libraryWriter{log})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	ps, end, err := entryvm.Start(time.Now(), cg, entryvm.TCP(), log)
	if err != nil {
		return err
	}
	defer end()
	<-signals
	ps.Stop()
	return nil
}

// libraryWriter writes the output of the standard logger, which libraries use, to
// the structured log.
type libraryWriter struct{ log *zap.Logger }

// Write implements io.Writer.
func (lw libraryWriter) Write(line []byte) (int, error) {
	events.LibraryMessage.Log(lw.log, zap.ByteString("message", bytes.TrimSpace(line)))
	return len(line), nil
}

// newLogger returns a logger with a level and a format, "json" or "console".
func newLogger(level, format string, to io.Writer) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log_level: %w", err)
	}
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoding.MessageKey, encoding.TimeKey = "name", "at"
	encoder := zapcore.NewJSONEncoder(encoding)
	if format == "console" {
		encoder = zapcore.NewConsoleEncoder(encoding)
	}
	return zap.New(zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(to)), parsed)), nil
}
