// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package logs

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// TestBlockedReader writes far more than a pipe holds while nobody reads from it. Writes must
// not block (the test would not end), and a later reader must get the count of dropped lines.
func TestBlockedReader(t *testing.T) {
	r, out, err := os.Pipe()
	must.NoError(t, err)
	w := &Writer{Out: out}
	w.Init()
	go w.Run()
	const n = 20000
	text := strings.Repeat("x", 100)
	for i := range n {
		_, err := fmt.Fprintf(w, "%d %s\n", i, text)
		must.NoError(t, err)
	}
	must.Greater(t, 0, int(w.dropped.Load()))
	sc := bufio.NewScanner(r)
	lines, dropped := 0, 0
	for lines+dropped < n && sc.Scan() {
		var k int
		if _, err := fmt.Sscanf(sc.Text(), `{"level":"info","msg":"log lines dropped","count":%d}`, &k); err == nil {
			dropped += k
			continue
		}
		lines++
	}
	must.EqOp(t, n, lines+dropped)
	must.Greater(t, 0, dropped)
}

// TestClosedReader checks that Write and Sync return although the log is closed at both ends.
func TestClosedReader(t *testing.T) {
	r, out, err := os.Pipe()
	must.NoError(t, err)
	must.NoError(t, r.Close())
	must.NoError(t, out.Close())
	w := &Writer{Out: out}
	w.Init()
	go w.Run()
	_, err = io.WriteString(w, "line\n")
	must.NoError(t, err)
	must.NoError(t, w.Sync())
	must.EqOp(t, 0, w.unwritten.Load())
}
