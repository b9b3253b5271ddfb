// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package program implements the start and exit of the programs that run on heathkeel's hosts:
// settings from flags and environment variables, the log and the exit codes.
package program
