// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/heathkeel/heathkeel/platform"
	"github.com/heathkeel/heathkeel/route"
)

// errFaults means that a file has faults, which were printed.
var errFaults = errors.New("the file has faults")

// checkHostFile checks the settings file of an hkedge.
func (t *tool) checkHostFile(path string) error {
	b, err := platform.ReadBoot(path)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	fmt.Fprintf(t.out, "ok: host %s in %s\n", b.Host, b.Zone)
	return nil
}

// checkConfiguration checks a configuration as operators write it to the platform.
func (t *tool) checkConfiguration(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	d, err := platform.ParseConfig(text)
	if err != nil {
		return fmt.Errorf("%s%s: %w", path, lineOf(text, err), err)
	}
	faults := route.Check(d)
	if t.JSON {
		if err := t.printJSON(faults); err != nil {
			return err
		}
	} else {
		for _, f := range faults {
			fmt.Fprintln(t.out, f)
		}
	}
	if len(faults) > 0 {
		return errFaults
	}
	if !t.JSON {
		fmt.Fprintf(t.out, "ok: version %d, %d routes, %d services, %d workspaces\n", d.Version, len(d.Routes), len(d.Services), len(d.Workspaces))
	}
	return nil
}

// lineOf gives the line of an error of JSON, or nothing.
func lineOf(text []byte, err error) string {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	offset := int64(0)
	switch {
	case errors.As(err, &syntax):
		offset = syntax.Offset
	case errors.As(err, &kind):
		offset = kind.Offset
	default:
		return ""
	}
	return fmt.Sprintf(":%d", 1+bytes.Count(text[:min(offset, int64(len(text)))], []byte("\n")))
}
