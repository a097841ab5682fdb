// Package second runs the cases of the second review, each a script in a folder beside this module. A case
// that shows a fault fails here until the fault is mended.
package second

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// runCase builds what the scripts start and runs the script of a case.
func runCase(t *testing.T, folder string) {
	t.Helper()
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	run := func(name string, args ...string) ([]byte, error) {
		c := exec.Command(name, args...)
		c.Dir = root
		return c.CombinedOutput()
	}
	if _, err = os.Stat(filepath.Join(root, "target", "hollowgrade")); err != nil {
		// The command of the deploy file.
		if b, err := run("go", "build", "-ldflags=-linkmode=external", "-o", "target/", "./cmd/hollowgrade"); err != nil {
			t.Fatalf("build: %v\n%s", err, b)
		}
	}
	if b, err := run("bash", "review/build-2.sh"); err != nil {
		t.Fatalf("build of the stand-ins: %v\n%s", err, b)
	}
	if b, err := run("bash", filepath.Join("review", folder, "run.sh")); err != nil {
		t.Fatalf("case %s: %v\n%s", folder, err, b)
	}
}

func TestReviewCase4(t *testing.T) { runCase(t, "4") }

func TestReviewCase5(t *testing.T) { runCase(t, "5") }

func TestReviewCase6(t *testing.T) { runCase(t, "6") }

func TestReviewCase7(t *testing.T) { runCase(t, "7") }
