// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import "github.com/heathkeel/heathkeel/peers"

// Loads tells what this host has running, by endpoint.
func (s *Server) Loads() map[string]peers.Load { return s.balance.loads() }

// SetOthers takes what the other live hosts have running.
func (s *Server) SetOthers(loads []map[string]peers.Load) { s.balance.setOthers(s.Now(), loads) }
