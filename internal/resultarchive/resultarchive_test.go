package resultarchive

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
)

// What was saved reads back; a file that was cut off never reads as whole, and a disk that is full is an error.
func TestSaveAndLoad(t *testing.T) {
	file := filepath.Join(t.TempDir(), "x")
	rows := []int{1, 2, 3}
	if err := Save(file, "head", rows); err != nil {
		t.Fatal(err)
	}
	if head, got, err := Load[string, int](file); err != nil || head != "head" || !slices.Equal(got, rows) {
		t.Fatal(head, got, err)
	}
	if err := os.Truncate(file, 12); err != nil {
		t.Fatal(err)
	}
	if _, got, err := Load[string, int](file); err == nil || got != nil || !strings.Contains(err.Error(), file) {
		t.Fatal(got, err)
	}
	if _, err := os.Stat("/dev/full"); err == nil {
		if err := Save("/dev/full", "head", rows); !errors.Is(err, syscall.ENOSPC) {
			t.Fatal(err)
		}
	}
}
