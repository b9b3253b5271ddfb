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

// New returns a logger that writes JSON lines of a program to standard error, and
// never waits for it.
func New(program, version string) logr.Logger {
	log, _ := Open(program, version, os.Stderr)
	return log
}

// Open returns a logger that writes JSON lines of a program to out, and its writer,
// whose Sync is to be called before the program ends.
func Open(program, version string, out io.Writer) (logr.Logger, *Writer) {
	w := &Writer{Out: out}
	w.Init()
	go w.Run()
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), w, zap.InfoLevel)
	return zapr.NewLogger(zap.New(core)).WithValues("program", program, "version", version), w
}
