package configurer

import (
	"bytes"
	"context"
	"os"
	"time"
)

// watchInterval is the interval at which a settings file is checked for changes
// that no signal announces.
const watchInterval = time.Second

// Watcher reloads a settings file when it changes or on a signal.
//
// Exported fields are set before Run.
type Watcher[T any] struct {
	Path string
	Load func(path string) (T, error)
	// Signals triggers an immediate reload.
	Signals <-chan os.Signal
	// OnChange is called with valid settings after the file has changed or a signal
	// has arrived. OnError is called instead if they can't be loaded; the caller then
	// keeps the last valid settings.
	OnChange func(settings T)
	OnError  func(err error)
}

// Run watches until ctx ends.
func (w *Watcher[T]) Run(ctx context.Context) {
	lastText, _ := os.ReadFile(w.Path) // a file that can't be read now counts as changed later
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-w.Signals:
			signaled = true
		}
		text, err := os.ReadFile(w.Path)
		if err == nil && bytes.Equal(text, lastText) && !signaled {
			continue
		}
		settings, err := w.Load(w.Path)
		if err != nil {
			if signaled || !bytes.Equal(text, lastText) {
				w.OnError(err)
			}
			lastText = text
			continue
		}
		lastText = text
		w.OnChange(settings)
	}
}
