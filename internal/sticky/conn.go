// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package sticky

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// Conn is a connection whose reads return io.EOF only if the other end has closed its side in order.
//
// An end in order that comes before a reset stays one: the other end had sent everything. A killed process whose kernel had no unread bytes
// for it ends its connections in order as well; that cannot be told from the connection.
type Conn struct {
	net.Conn

	mu     sync.Mutex
	idle   *sync.Cond // signals that writes is 0
	writes int        // under way
	err    error      // the first error that a write or a look was told of
}

// New returns a connection that keeps the errors of c.
func New(c net.Conn) *Conn {
	s := &Conn{Conn: c}
	s.idle = sync.NewCond(&s.mu)
	return s
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF { // not wrapped by any connection
		err = c.endError()
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.writes++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keep(err)
	if c.writes--; c.writes == 0 {
		c.idle.Broadcast()
	}
	return n, err
}

// keep keeps the first error that says that the connection did not end in order; mu must be held.
func (c *Conn) keep(err error) {
	switch {
	case err == nil || c.err != nil:
	case errors.Is(err, syscall.EPIPE), errors.Is(err, io.ErrClosedPipe):
		// The other end had closed its side before: a reset that comes first is reported as one.
	case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
		// This side closed the connection, or set the deadline.
	default:
		c.err = err
	}
}

// endError returns the error that ended the connection, or io.EOF if the other end closed its side in order.
func (c *Conn) endError() error {
	over := c.isOver()
	c.mu.Lock()
	defer c.mu.Unlock()
	// Of a connection that is over, each write returns at once. One that is under way may have been told of the reset.
	for over && c.writes > 0 {
		c.idle.Wait()
	}
	if c.err != nil {
		return c.err
	}
	return io.EOF
}

// overReporter is a connection that is none of the operating system's and reports whether it is over in both directions.
type overReporter interface{ Over() bool }

// tcpClose is the state of the kernel's sockets that are over in both directions, after a reset or a time-out. One whose other end has closed
// its side in order is in another state until both ends have.
const tcpClose = 7

// isOver reports whether the connection is over in both directions, as after a reset.
func (c *Conn) isOver() bool {
	if o, ok := c.Conn.(overReporter); ok {
		return o.Over()
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false // closed by this side, or none of the operating system's
	}
	over := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		over = err == nil && info.State == tcpClose
	})
	return err == nil && over
}

// drainer is a connection that is none of the operating system's and reports whether it is open and no bytes wait on it.
type drainer interface{ Drained() bool }

// Drained reports whether the connection is open and no bytes wait on it. It may be called while another goroutine reads. known is false of
// a connection that cannot tell.
func (c *Conn) Drained() (drained, known bool) {
	if d, ok := c.Conn.(drainer); ok {
		return d.Drained(), true
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false, !errors.Is(err, errNoSocket)
	}
	var lookErr error
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		_, _, lookErr = unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if err != nil {
		return false, true // closed by this side
	}
	if errors.Is(lookErr, unix.EAGAIN) {
		return true, true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keep(lookErr)
	return false, true
}

// errNoSocket means that a connection is none of the operating system's.
var errNoSocket = errors.New("connection has no socket of the operating system")

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNoSocket
	}
	return sc.SyscallConn()
}
