package simwire

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"fordusher/policy"
)

// Ids beyond 32 bits keep every digit, unknown keys are ignored, and a reply is written only when Finish completes it.
func TestFramesAndReplies(t *testing.T) {
	in := `{"t":"tick","t_s":8.5,"frame":12}
{"t":"demand","i":"director-3","txn":4503599627370495,"cls":"x","programme":9007199254740991,"news":[1]}
{"t":"ring","i":"director-3","token":77}
{"t":"go"}
`
	r := NewReader(strings.NewReader(in))
	f, err := r.Next()
	if err != nil || f.Number != 12 || f.Time != 8500*time.Millisecond || len(f.Events) != 2 {
		t.Fatalf("%+v, %v", f, err)
	}
	if m := f.Events[0]; m.ID != 1<<52-1 || m.Title != 1<<53-1 {
		t.Fatalf("ids lost precision: %+v", m)
	}
	if _, err := r.Next(); !errors.Is(err, io.EOF) {
		t.Fatal(err)
	}
	var out bytes.Buffer
	w := NewWriter(&out)
	w.Action("director-3", time.Second, policy.SetTimer{At: 1500 * time.Millisecond})
	w.Action("director-3", time.Second, policy.Dispatch{ID: 1<<52 - 1, Node: "n", Timeout: 80 * time.Millisecond})
	if out.Len() > 0 {
		t.Fatal("a reply was written before its end")
	}
	if err := w.Finish(12); err != nil {
		t.Fatal(err)
	}
	want := `{"t":"schedule","i":"director-3","time_s":2.5,"token":0}
{"t":"dispatch","i":"director-3","txn":4503599627370495,"within_s":0.08,"node":"n"}
{"t":"ack","frame":12}
`
	if out.String() != want {
		t.Fatal(out.String())
	}
}

// An invalid frame is an error that says what is wrong and, where a frame has begun, its number.
func TestInvalidFramesAreReportedByNumber(t *testing.T) {
	tick := `{"t":"tick","t_s":1,"frame":7}` + "\n"
	for in, want := range map[string]string{
		tick + "nonsense\n":                "frame 7",
		tick + `{"t":"earthquake"}` + "\n": `unknown event kind "earthquake"`,
		tick + `{"t":"ring"`:               "no line end",
		tick:                               "ends inside the frame",
		`{"t":"go"}` + "\n":                "instead of a tick",
		`{"t":"tick"}` + "\n":              "without time",
	} {
		if _, err := NewReader(strings.NewReader(in)).Next(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", in, err)
		}
	}
}
