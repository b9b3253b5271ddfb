// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package site

import (
	"fmt"
	"net"
	"testing"

	"github.com/shoenig/test/must"
)

// TestFindPorts checks that a host gets ports of which all are free: it used to get one free port and the
// four after it, and now and then failed to start with "address already in use".
func TestFindPorts(t *testing.T) {
	ip := loopbackIP(200)
	cases := []struct {
		name string
		used int // index of the port of the next block that is in use
		udp  bool
	}{
		{"first port in use", 0, false}, {"third port in use", 2, false}, {"last port in use", hostPorts - 1, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			before, err := findPorts(ip)
			must.NoError(t, err)
			next := before + hostPorts
			address := fmt.Sprintf("%s:%d", ip, next+tc.used)
			if tc.udp {
				c, err := net.ListenPacket("udp", address)
				must.NoError(t, err)
				defer c.Close()
			} else {
				l, err := net.Listen("tcp", address)
				must.NoError(t, err)
				defer l.Close()
			}
			base, err := findPorts(ip)
			must.NoError(t, err)
			must.Greater(t, next, base)
			must.True(t, portsFree(ip, base))
		})
	}
}
