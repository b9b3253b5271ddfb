// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package logs

import (
	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
)

// New returns a logger that writes JSON lines of a program to standard error.
func New(program, version string) (logr.Logger, error) {
	cfg := zap.NewProductionConfig()
	cfg.Sampling = nil
	cfg.DisableStacktrace = true
	z, err := cfg.Build()
	if err != nil {
		return logr.Logger{}, err
	}
	return zapr.NewLogger(z).WithValues("program", program, "version", version), nil
}
