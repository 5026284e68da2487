package configurer

import (
	"bytes"
	"context"
	"os"
	"time"
)

// watchInterval is how often a settings file is looked at for a change that no
// signal tells of.
const watchInterval = time.Second

// Watcher reads a settings file again when it changes or a signal asks for it.
//
// Exported fields are set before Run.
type Watcher[T any] struct {
	Path string
	Load func(path string) (T, error)
	// Signals asks for a reload at once.
	Signals <-chan os.Signal
	// OnChange is called with settings that differ in their text and hold no
	// fault, Refused with the faults of others; the last good ones stay.
	OnChange func(settings T)
	OnError  func(err error)
}

// Run watches until ctx ends.
func (w *Watcher[T]) Run(ctx context.Context) {
	last, _ := os.ReadFile(w.Path) // a file that can't be read counts as changed later
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
		if err == nil && bytes.Equal(text, last) && !signaled {
			continue
		}
		settings, err := w.Load(w.Path)
		if err != nil {
			if signaled || !bytes.Equal(text, last) {
				w.OnError(err)
			}
			last = text
			continue
		}
		last = text
		w.OnChange(settings)
	}
}
