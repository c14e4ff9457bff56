// Package tools pins the linters of this workspace in its go.mod.
package tools
