// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package jsoncall makes HTTP requests whose bodies are JSON, as all calls between heathkeel's
// programs and to the platform are. What an answer means is its callers' to say.
package jsoncall
