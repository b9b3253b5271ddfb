// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package fake holds small stand-ins for what lies outside heathkeel: the
// platform's key-value service, host list and weight store, model engines and
// plain services. Each is driven by a table of faults and, where chance plays
// a part, by a seed. The contract tests of this package name what each
// interface promises.
package fake
