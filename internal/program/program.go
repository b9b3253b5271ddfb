// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package program

import (
	"os"

	"github.com/alexflint/go-arg"
	"github.com/go-logr/logr"

	"github.com/heathkeel/heathkeel/internal/logs"
	"github.com/heathkeel/heathkeel/internal/version"
)

// Exit codes, see docs/OPERATIONS.md.
const (
	// ExitFailed tells that the program could not go on.
	ExitFailed = 1
	// ExitUsage tells that its settings are wrong.
	ExitUsage = 2
)

// Program is a running program.
type Program struct {
	// Log takes its lines.
	Log logr.Logger

	lines *logs.Writer
}

// Start reads the settings of a program into args and opens its log. Settings that cannot be
// read end the process.
func Start(name string, args any) *Program {
	arg.MustParse(args)
	p := &Program{}
	p.Log, p.lines = logs.Open(name, version.Version, os.Stderr)
	return p
}

// ExitInvalidSettings ends the process because its settings are wrong. The reason is a line of the log like any
// other: a host that does not start is looked for there.
func (p *Program) ExitInvalidSettings(err error, keysAndValues ...any) {
	p.Log.Error(err, "not started", keysAndValues...)
	p.end(ExitUsage)
}

// Exit ends the process: with code 0 if err is nil.
func (p *Program) Exit(err error) {
	if err != nil {
		p.Log.Error(err, "stopped")
		p.end(ExitFailed)
	}
	p.end(0)
}

// end writes what is left of the log and ends the process.
func (p *Program) end(code int) {
	_ = p.lines.Sync() // there is nowhere to tell of it
	os.Exit(code)
}
