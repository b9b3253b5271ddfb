// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package settings

import (
	"io/fs"
	"path"
	"slices"
	"strings"
)

// ReadDir reads all YAML files below the root of fsys, sorted by name. It skips
// files whose names begin with a dot.
func ReadDir(fsys fs.FS) ([]File, error) {
	var files []File
	err := fs.WalkDir(fsys, ".", func(p string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		ext := path.Ext(p)
		if d.IsDir() || strings.HasPrefix(path.Base(p), ".") || (ext != ".yaml" && ext != ".yml") {
			return nil
		}
		b, err := fs.ReadFile(fsys, p)
		if err != nil {
			return err
		}
		files = append(files, File{Name: p, Data: b})
		return nil
	})
	slices.SortFunc(files, func(a, b File) int { return strings.Compare(a.Name, b.Name) })
	return files, err
}
