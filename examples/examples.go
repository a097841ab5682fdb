// Package examples embeds the policies and the loads that the demo uses and the documentation
// refers to.
package examples

import "embed"

// Files holds the policies and the mixes.
//
//go:embed policies/*.expr mixes/*.toml
var Files embed.FS

// Policy returns the text of a policy in examples/policies.
func Policy(name string) string {
	return read("policies/" + name + ".expr")
}

// Mix returns the text of a load in examples/mixes.
func Mix(name string) string {
	return read("mixes/" + name + ".toml")
}

// read panics if the file is missing, because the files are embedded in the program.
func read(path string) string {
	b, err := Files.ReadFile(path)
	if err != nil {
		panic(err)
	}
	return string(b)
}
