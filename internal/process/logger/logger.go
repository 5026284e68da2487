// Package logger writes numbered events.
//
// # Usage
//
//	log := logger.New(os.Stderr, slog.LevelInfo)
//	logger.RouterStarted.Log(log, "router", "router-1")
//
// docs/EVENTS.md is the catalogue of all events. No event contains a prompt, a key
// or a response.
package logger

import (
	"context"
	"io"
	"log/slog"
)

// New returns a logger that writes JSON lines to w.
func New(w io.Writer, level slog.Level) *slog.Logger {
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}))
}

// Event is a kind of log line.
type Event struct {
	Number  int
	Level   slog.Level
	Message string
	// Action describes what an operator should do.
	Action string
}

// Log writes the event; args are alternating attribute keys and values.
func (e Event) Log(log *slog.Logger, args ...any) {
	log.Log(context.Background(), e.Level, e.Message, append([]any{"event", e.Number}, args...)...)
}
