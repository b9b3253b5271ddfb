// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package site

import (
	"fmt"
	"net"
	"strings"
	"time"
)

const (
	// Fill is the byte of which the end of an endless body consists.
	Fill = "~"
	// maxEndless and endlessTime limit the bytes and the time of an endless answer, so that a host
	// without limits does not take the machine's memory.
	maxEndless  = 96 << 20
	endlessTime = 10 * time.Second
	// endlessPiece is the size of one write.
	endlessPiece = 32 << 10
)

// sendEndless sends a piece again and again until the connection fails or a limit is reached.
func sendEndless(c net.Conn, piece string) {
	_ = c.SetWriteDeadline(time.Now().Add(endlessTime))
	for sent := 0; sent < maxEndless; sent += len(piece) {
		if _, err := c.Write([]byte(piece)); err != nil {
			return
		}
	}
}

// sendEndlessHead sends the head of an answer without an end.
func (e *Endpoint) sendEndlessHead(c net.Conn, id string, f Fault) {
	head, fill := e.responseHead(id, None, "200 OK"), strings.Repeat(Fill, endlessPiece)
	switch f {
	case EndlessStatus:
		head = "HTTP/1.1 200 "
	case EndlessHeader:
		head += "X-Fill: "
	case EndlessHeaders:
		fill = strings.Repeat("X-Fill: "+strings.Repeat(Fill, 100)+"\r\n", endlessPiece/110)
	case EndlessInterim:
		head, fill = "", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", endlessPiece/30)
	case EndlessBytes:
		head, fill = "", strings.Repeat("\x00\xff", endlessPiece/2)
	}
	if _, err := c.Write([]byte(head)); err == nil {
		sendEndless(c, fill)
	}
}

// sendEndlessFill sends fill in a body without an end, in chunks or as it is.
func sendEndlessFill(c net.Conn, chunked bool) {
	fill := strings.Repeat(Fill, endlessPiece)
	if chunked {
		fill = fmt.Sprintf("%x\r\n%s\r\n", endlessPiece, fill)
	}
	sendEndless(c, fill)
}
