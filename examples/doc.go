// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package examples embeds example declarations: those of Fjordkanal Felles and of
// Litoral Collections.
package examples
