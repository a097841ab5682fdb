// Package review runs the cases of the independent review. They are no part of the default test run.
package review

import (
	"os/exec"
	"testing"
)

// playCase builds the gateway as the deploy file does and runs the script of a case.
func playCase(t *testing.T, folder string) {
	t.Helper()
	b := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", "target/", "./cmd/hollowgrade")
	b.Dir = ".."
	if out, err := b.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	c := exec.Command("./run.sh")
	c.Dir = folder
	if out, err := c.CombinedOutput(); err != nil {
		t.Errorf("%v\n%s", err, out)
	}
}

func TestReviewCase1(t *testing.T) {
	playCase(t, "1")
}

func TestReviewCase2(t *testing.T) {
	playCase(t, "2")
}

func TestReviewCase3(t *testing.T) {
	playCase(t, "3")
}
