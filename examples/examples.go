// Package examples holds worked service documents for both deployments.
package examples

import "embed"

// Files holds the documents, named SERVICE.yaml.
//
//go:embed *.yaml
var Files embed.FS
