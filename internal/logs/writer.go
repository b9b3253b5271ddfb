// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package logs

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// mostLines is the number of lines that wait to be written.
const mostLines = 1024

// Writer passes lines on without ever waiting: while Out takes nothing, lines beyond a
// bound are dropped, counted and told once Out takes lines again. The exported field
// must be set before Run.
type Writer struct {
	// Out is where lines go.
	Out io.Writer

	lines   chan []byte
	dropped atomic.Int64
	waiting atomic.Int64
}

// Init makes the writer ready; call it before the first Write.
func (w *Writer) Init() { w.lines = make(chan []byte, mostLines) }

// Write takes a line.
func (w *Writer) Write(p []byte) (int, error) {
	w.waiting.Add(1)
	select {
	case w.lines <- bytes.Clone(p):
	default:
		w.waiting.Add(-1)
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Run writes lines for as long as the process lives.
func (w *Writer) Run() {
	for line := range w.lines {
		// Nobody can be told of a log that is gone.
		_, _ = w.Out.Write(line)
		w.waiting.Add(-1)
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w.Out, "{\"level\":\"info\",\"msg\":\"log lines dropped\",\"count\":%d}\n", n)
		}
	}
}

// Sync waits a short while for the lines taken so far; zap calls it before a process ends.
func (w *Writer) Sync() error {
	for range 50 {
		if w.waiting.Load() == 0 {
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}
