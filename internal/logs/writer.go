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

// maxQueuedLines is the capacity of a Writer's queue.
const maxQueuedLines = 1024

// Writer is a non-blocking writer of log lines. Run writes queued lines to Out. While Out
// blocks and the queue is full, Write drops lines and counts them; once Out accepts lines
// again, Run writes a line with the count. Set Out and call Init before Run.
type Writer struct {
	// Out is the destination of the lines.
	Out io.Writer

	queue     chan []byte
	dropped   atomic.Int64
	unwritten atomic.Int64
}

// Init creates the queue; call it before the first Write.
func (w *Writer) Init() { w.queue = make(chan []byte, maxQueuedLines) }

// Write queues a copy of one line, or drops the line if the queue is full. It never blocks
// and never returns an error.
func (w *Writer) Write(p []byte) (int, error) {
	w.unwritten.Add(1)
	select {
	case w.queue <- bytes.Clone(p):
	default:
		w.unwritten.Add(-1)
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Run writes queued lines to Out. It does not return.
func (w *Writer) Run() {
	for line := range w.queue {
		// An error of the log's destination cannot be logged.
		_, _ = w.Out.Write(line)
		w.unwritten.Add(-1)
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w.Out, "{\"level\":\"info\",\"msg\":\"log lines dropped\",\"count\":%d}\n", n)
		}
	}
}

// Sync waits until all queued lines are written, but at most 0.5 s. It implements
// zapcore.WriteSyncer.
func (w *Writer) Sync() error {
	for range 50 {
		if w.unwritten.Load() == 0 {
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}
