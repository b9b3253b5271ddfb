// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package upstream

import "bytes"

// headScanner counts the bytes and lines of a head, and finds its end.
type headScanner struct {
	bytes, lines int
	lineBytes    int // bytes of the current line without its end, not counting carriage returns
	done         bool
	exceeded     Limit // or empty
}

// scan counts the next bytes of a connection and records a limit that they exceed.
func (h *headScanner) scan(p []byte) {
	if h.done && len(p) > 0 {
		// The parser still reads after what counts as the end here, so that these bytes are part of its head.
		h.bytes += len(p)
	}
	for !h.done && len(p) > 0 {
		line, rest, complete := bytes.Cut(p, []byte{'\n'})
		h.bytes += len(p) - len(rest)
		h.lineBytes += len(line) - bytes.Count(line, []byte{'\r'})
		if p = rest; complete {
			h.done = h.lineBytes == 0
			h.lines++
			h.lineBytes = 0
		}
	}
	switch {
	case h.bytes > maxHeadBytes:
		h.exceeded = LimitHead
	case h.lines > maxHeaderLines:
		h.exceeded = LimitHeaderLines
	}
}
