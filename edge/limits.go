// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/heathkeel/heathkeel/ingress"
	"github.com/heathkeel/heathkeel/upstream"
)

// Limits of what the store and other hosts send.
const (
	// maxAnswerHead limits the head of an answer, in bytes. The default of net/http is 10 MB.
	maxAnswerHead = 64 << 10
	// maxPeerAnswer limits the body of another host's answer, in bytes after decompression. Settings and lists come in one answer.
	maxPeerAnswer = 4 << 20
	// minPeerBuffer is the initial size of the buffer for such an answer.
	minPeerBuffer = 16 << 10
	// writeTimeout limits the time in which another host, or an operator, takes an answer. Hosts give up after fetchTimeout, but one
	// that stops reading must not keep the others from being answered.
	writeTimeout = 5 * time.Second
)

// Shares of the host's memory.
const (
	// memoryShare is the share of the memory up to which bytes are held for requests and other hosts. The garbage collector's soft
	// limit leaves room for the rest: memoryLimitShare.
	memoryShare = 0.4
	// idleConnShare is the share of the memory for callers' connections without a request, and idleConnBytes what one takes: two
	// buffers of 4 KB and the stack of a goroutine.
	idleConnShare = 0.1
	idleConnBytes = 16 << 10
	// defaultMemory is the limit in bytes if the host's memory is unknown.
	defaultMemory = 128 << 20
)

// memoryLimit returns the limit in bytes for what is held for requests and other hosts.
func (h *Host) memoryLimit() int64 {
	if h.Boot.MemoryMB == 0 {
		return defaultMemory
	}
	return int64(memoryShare * float64(h.Boot.MemoryMB<<20))
}

var (
	// errPeerAnswerTooLarge means that an answer of another host exceeds maxPeerAnswer.
	errPeerAnswerTooLarge = eris.Errorf("answer of another host is larger than %d bytes; it is asked again after its next heartbeat", maxPeerAnswer)
	// errNoMemory means that an answer of or to another host does not fit into this host's memory.
	errNoMemory = eris.New("no memory for an answer of or to another host; it is asked for again after the next heartbeat")
)

// decodePeerAnswer decodes the answer of another host, within maxPeerAnswer and the memory of this host.
func (h *Host) decodePeerAnswer(resp *http.Response, out any) error {
	if resp.ContentLength > maxPeerAnswer {
		return errPeerAnswerTooLarge
	}
	memory := h.ingress.MemoryAccount().Open()
	defer memory.Release()
	var buf []byte
	for {
		if len(buf) == cap(buf) {
			if len(buf) > maxPeerAnswer {
				return errPeerAnswerTooLarge
			}
			size := min(max(minPeerBuffer, 2*cap(buf)), maxPeerAnswer+1)
			if !memory.Reserve(ingress.Peers, int64(size-cap(buf))) {
				return errNoMemory
			}
			buf = append(make([]byte, 0, size), buf...)
		}
		n, err := resp.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if errors.Is(err, io.EOF) {
			return json.Unmarshal(buf, out)
		}
		if err != nil {
			return err
		}
	}
}

// maxIdleConns returns the number of callers' connections that are kept without a request.
func (h *Host) maxIdleConns() int {
	memory := int64(defaultMemory)
	if h.Boot.MemoryMB > 0 {
		memory = int64(h.Boot.MemoryMB << 20)
	}
	return int(idleConnShare * float64(memory) / idleConnBytes)
}

// idleConns closes the connections that have been without a request for the longest time, beyond a limit.
type idleConns struct {
	limit   int
	onClose func()

	mu    sync.Mutex
	count uint64
	since map[net.Conn]uint64 // count when the connection became idle
}

// note records the state of a connection; it is an http.Server's ConnState.
func (i *idleConns) note(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.since, c)
	if state != http.StateNew && state != http.StateIdle {
		return
	}
	if i.since == nil {
		i.since = make(map[net.Conn]uint64)
	}
	i.count++
	i.since[c] = i.count
	if len(i.since) <= i.limit {
		return
	}
	oldest := c
	for o, at := range i.since {
		if at < i.since[oldest] {
			oldest = o
		}
	}
	delete(i.since, oldest)
	_ = oldest.Close()
	i.onClose()
}

// limitSocketBuffers keeps the kernel from holding more than about 0.4 MB for the connection of a caller that does not read, or whose
// body is not read. Connections of tests have no such buffers.
func limitSocketBuffers(c net.Conn) {
	if tc, ok := c.(*net.TCPConn); ok {
		_ = tc.SetWriteBuffer(upstream.SocketBuffer) // without it the connection works too
		_ = tc.SetReadBuffer(upstream.SocketBuffer)
	}
}
