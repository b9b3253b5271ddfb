// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package dev runs a whole small fleet in one process on loopback: stand-ins of
// the platform and of every declared endpoint, and several hosts. It serves
// hkdev and the tests.
package dev
