// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package dev runs a small but complete fleet in one process on loopback: fakes of
// the platform and of every declared endpoint, and several hosts. hkdev and tests
// use it.
package dev
