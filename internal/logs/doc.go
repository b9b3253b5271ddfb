// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package logs provides the structured logs of all programs: JSON lines on standard
// error. Programs log changes of state only.
package logs
