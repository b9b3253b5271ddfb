// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge

import (
	"errors"
	"net"
	"time"

	"github.com/go-logr/logr"
)

// Limits of the pause after a connection that could not be accepted; it doubles with each in a row.
const (
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

// acceptAll passes the connections of a listener to handle until the listener is closed. Other errors pass: where no descriptor is left,
// connections that end give some back.
func acceptAll(l net.Listener, log logr.Logger, handle func(net.Conn)) {
	pause := minAcceptPause
	for {
		c, err := l.Accept()
		switch {
		case err == nil:
			pause = minAcceptPause
			handle(c)
		case errors.Is(err, net.ErrClosed):
			return
		default:
			log.Error(err, "connection not accepted; it is tried again", "after", pause.String())
			time.Sleep(pause)
			pause = min(2*pause, maxAcceptPause)
		}
	}
}
