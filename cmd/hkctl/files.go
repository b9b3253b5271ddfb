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

// errFaults reports that a file has faults; they have been printed.
var errFaults = errors.New("the configuration file has faults")

// checkHostFile checks the settings file of an hkedge host.
func (inv *invocation) checkHostFile(path string) error {
	b, err := platform.ReadBoot(path)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	fmt.Fprintf(inv.out, "ok: host %s in %s\n", b.Host, b.Zone)
	return nil
}

// checkConfiguration checks a configuration file, in the form in which operators write it
// to the platform, and prints the faults found.
func (inv *invocation) checkConfiguration(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	d, err := platform.ParseConfig(text)
	if err != nil {
		return fmt.Errorf("%s%s: %w", path, errorLine(text, err), err)
	}
	faults := route.Check(d)
	if inv.JSON {
		if err := inv.printJSON(faults); err != nil {
			return err
		}
	} else {
		for _, f := range faults {
			fmt.Fprintln(inv.out, f)
		}
	}
	if len(faults) > 0 {
		return errFaults
	}
	if !inv.JSON {
		fmt.Fprintf(inv.out, "ok: version %d, %d routes, %d services, %d workspaces\n", d.Version, len(d.Routes), len(d.Services), len(d.Workspaces))
	}
	return nil
}

// errorLine returns ":LINE" for a JSON error with an offset in text, and "" for other errors.
func errorLine(text []byte, err error) string {
	var syntaxErr *json.SyntaxError
	var typeErr *json.UnmarshalTypeError
	offset := int64(0)
	switch {
	case errors.As(err, &syntaxErr):
		offset = syntaxErr.Offset
	case errors.As(err, &typeErr):
		offset = typeErr.Offset
	default:
		return ""
	}
	return fmt.Sprintf(":%d", 1+bytes.Count(text[:min(offset, int64(len(text)))], []byte("\n")))
}
