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
	// ExitFailed is the exit code of a program that stopped because of an error.
	ExitFailed = 1
	// ExitUsage is the exit code of a program whose settings are invalid.
	ExitUsage = 2
)

// Program is a running program with its log.
type Program struct {
	// Log is the program's logger.
	Log logr.Logger

	writer *logs.Writer
}

// Start parses the settings of a program into args and opens its log. If they cannot be
// parsed, it ends the process.
func Start(name string, args any) *Program {
	arg.MustParse(args)
	p := &Program{}
	p.Log, p.writer = logs.Open(name, version.Version, os.Stderr)
	return p
}

// ExitInvalidSettings ends the process with ExitUsage because its settings are invalid. It logs
// the reason, because operators look in the log for why a host did not start.
func (p *Program) ExitInvalidSettings(err error, keysAndValues ...any) {
	p.Log.Error(err, "not started", keysAndValues...)
	p.flushAndExit(ExitUsage)
}

// Exit ends the process with code 0 if err is nil; otherwise it logs err and exits with
// ExitFailed.
func (p *Program) Exit(err error) {
	if err != nil {
		p.Log.Error(err, "stopped")
		p.flushAndExit(ExitFailed)
	}
	p.flushAndExit(0)
}

// flushAndExit flushes the log and ends the process.
func (p *Program) flushAndExit(code int) {
	_ = p.writer.Sync() // an error cannot be reported without the log
	os.Exit(code)
}
