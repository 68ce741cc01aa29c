// Package examples embeds complete service documents of two example deployments.
package examples

import "embed"

// Files holds the documents; each is named SERVICE.yaml.
//
//go:embed *.yaml
var Files embed.FS
