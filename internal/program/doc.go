// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package program is how heathkeel's hosts' programs begin and end: settings from flags and
// environment variables, the log, exit codes.
package program
