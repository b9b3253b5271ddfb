// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package site

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// Ports of hosts. They lie below those that Linux gives to outgoing connections and to listeners without
// a port of their own, so that nothing takes them between the search for them and their use.
const (
	firstPort = 10000
	lastPort  = 32000
	// hostPorts is the number of successive ports that a host uses: four for TCP, and the last one for UDP.
	hostPorts = 5
)

// blocksTaken counts the blocks of ports that sites of this process have taken.
var blocksTaken atomic.Int64

// loopbackIP returns the IP address of host n. Processes have different ones, so that the tests of several
// packages can run at once.
func loopbackIP(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+(pid>>8)%254, pid%256, 10+n)
}

// findPorts returns the first of hostPorts successive ports that are free at an IP address and that no
// other site of this process uses.
func findPorts(ip string) (int, error) {
	const blocks = (lastPort - firstPort) / hostPorts
	for range blocks {
		block := int(blocksTaken.Add(1)-1) % blocks
		if base := firstPort + block*hostPorts; portsFree(ip, base) {
			return base, nil
		}
	}
	return 0, eris.Errorf("no %d successive ports are free at %s; end the processes that use them", hostPorts, ip)
}

// portsFree reports whether the ports of a host are free.
func portsFree(ip string, base int) bool {
	for i := range hostPorts - 1 {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, base+i))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	c, err := net.ListenPacket("udp", fmt.Sprintf("%s:%d", ip, base+hostPorts-1))
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}
