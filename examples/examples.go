// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package examples

import (
	"embed"
	"io/fs"
)

//go:embed fjordkanal litoral
var files embed.FS

// Fjordkanal returns the declaration of Fjordkanal Felles.
func Fjordkanal() fs.FS { return subdirectory("fjordkanal") }

// Litoral returns the declaration of Litoral Collections.
func Litoral() fs.FS { return subdirectory("litoral") }

// subdirectory returns the embedded directory name. It panics if name is not a valid path.
func subdirectory(name string) fs.FS {
	dir, err := fs.Sub(files, name)
	if err != nil {
		panic(err)
	}
	return dir
}
