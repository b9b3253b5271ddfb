// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package upstream

import (
	"cmp"
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// The kernel's time-out for unacknowledged bytes (TCP_USER_TIMEOUT) ends a connection also if its other end answers each probe, but reads
// nothing for that long. An endpoint may respond first and read a long body later. So that time-out is off while a long body is on its way,
// and the pool looks itself whether the other end answers.

// Times of the watch over a body, as shares of Pool.AckTimeout.
const (
	// ackWatchDelay is the share after which the watch begins: most bodies have arrived by then.
	ackWatchDelay = 1.0 / 3
	// ackWatchInterval is the share between two looks.
	ackWatchInterval = 1.0 / 12
)

// ackTimeout returns AckTimeout or its default.
func (p *Pool) ackTimeout() time.Duration { return cmp.Or(p.AckTimeout, defaultAckTimeout) }

// watchAcks ends the connection if its other end answers nothing for Pool.AckTimeout while the body that is being sent is on its way. It
// returns at once.
func (c *Conn) watchAcks() {
	raw, err := c.net.SyscallConn()
	if err != nil {
		return // the connection is closed, or none of the operating system's
	}
	sentAt := c.pool.Now()
	delay := time.Duration(ackWatchDelay * float64(c.pool.ackTimeout()))
	time.AfterFunc(delay, func() { c.runAckWatch(raw, sentAt) })
}

// runAckWatch watches until the other end has all bytes, which were sent from a time on, or the connection is closed.
func (c *Conn) runAckWatch(raw syscall.RawConn, sentAt time.Duration) {
	if !c.watched.CompareAndSwap(false, true) {
		return // an earlier body is still being watched
	}
	defer c.watched.Store(false)
	timeout := c.pool.ackTimeout()
	if s, err := readSendState(raw); err != nil || s.done() || controlUserTimeout(raw, 0) != nil {
		return
	}
	t := time.NewTicker(time.Duration(ackWatchInterval * float64(timeout)))
	defer t.Stop()
	for l := (silence{begun: true, since: sentAt}); ; <-t.C {
		s, err := readSendState(raw)
		if err != nil {
			return
		}
		if s.done() {
			_ = controlUserTimeout(raw, timeout) // an error means that the connection is closed
			return
		}
		if l.note(c.pool.Now(), &s) >= timeout {
			c.Close()
			return
		}
	}
}

// readSendState returns the state of the sending side of a socket.
func readSendState(raw syscall.RawConn) (sendState, error) {
	var info *unix.TCPInfo
	var infoErr error
	err := raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err = errors.Join(err, infoErr); err != nil {
		return sendState{}, err
	}
	return sendState{
		unsent: info.Notsent_bytes > 0, unacked: info.Unacked > 0, probing: info.Probes > 0,
		sinceSent: time.Duration(info.Last_data_sent) * time.Millisecond,
		// An acknowledgement that comes with bytes, and of nothing new, does not count as one to the kernel.
		sinceHeard: time.Duration(min(info.Last_ack_recv, info.Last_data_recv)) * time.Millisecond,
	}, nil
}

// controlUserTimeout sets the kernel's time-out for unacknowledged bytes; 0 turns it off.
func controlUserTimeout(raw syscall.RawConn, d time.Duration) error {
	var setErr error
	err := raw.Control(func(fd uintptr) { setErr = setUserTimeout(fd, d) })
	return errors.Join(err, setErr)
}

// setUserTimeout sets the kernel's time-out for unacknowledged bytes of a socket; 0 turns it off.
func setUserTimeout(fd uintptr, d time.Duration) error {
	return unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
}
