// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package logs

import (
	"io"
	"os"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes a program's JSON lines to standard error without
// blocking the caller.
func New(program, version string) logr.Logger {
	log, _ := Open(program, version, os.Stderr)
	return log
}

// Open returns a logger that writes a program's JSON lines to out, and its writer. Call
// the writer's Sync before the program ends.
func Open(program, version string, out io.Writer) (logr.Logger, *Writer) {
	writer := &Writer{Out: out}
	writer.Init()
	go writer.Run()
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), writer, zap.InfoLevel)
	return zapr.NewLogger(zap.New(core)).WithValues("program", program, "version", version), writer
}
