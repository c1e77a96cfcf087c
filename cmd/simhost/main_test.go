package main

import (
	"bytes"
	"strings"
	"testing"
)

const boot = `{"t":"boot","i":"director-0","entropy":7,"conf":{"me":0,"balancers":1,
"classes":[{"name":"x","target_s":1,"give_up_s":3,"semantics":"free","credit":1}],
"family_info":{"positions":3,"shelves":1,"ladder_kb":[100,200],"link_unit_kb":1000,"rack_link_kb":3000,
"kind_slots":[20]},"flavors":["k"],"permissions":{"max_attempts":4},"report":{"fields":["active","x0"]},
"rules":{"cold_from":0.5,"fall_multiple":4,"ramp_time_s":5,"tip_after_s":1}}}`

// frame returns the input of one frame with the given events.
func frame(events ...string) string {
	lines := []string{`{"t":"tick","t_s":100,"frame":1}`}
	for _, e := range events {
		lines = append(lines, strings.ReplaceAll(e, "\n", ""))
	}
	return strings.Join(append(lines, `{"t":"go"}`), "\n") + "\n"
}

const (
	registerList      = `{"t":"register","list":0,"entries":[{"stage_state":"up","node":"n","generation_hw":"k","scale":1}]}`
	registerOtherList = `{"t":"register","list":0,"entries":[{"stage_state":"up","node":"m","generation_hw":"k","scale":1}]}`
	listRestored      = `{"t":"roster_change","i":"director-0","list":0,"kind":"restored","serial":1}`
	request           = `{"t":"demand","i":"director-0","txn":5,"cls":"x","valid_until_s":103,"base":0,"cells_in_row":3,"top_rung":1}`
)

// A list change uses the list as it is registered at that point of the frame, although a later event registers another
// one under the same number.
func TestListIsReadAsRegisteredAtItsEvent(t *testing.T) {
	var out bytes.Buffer
	if err := serve(strings.NewReader(frame(boot, registerList, listRestored, registerOtherList, request)), &out); err != nil {
		t.Fatal(err)
	}
	if s := out.String(); !strings.Contains(s, `"node":"n"`) || !strings.HasSuffix(s, `{"t":"ack","frame":1}`+"\n") {
		t.Fatal(s)
	}
}

// Invalid input is an error that names the frame, and no part of a reply is written.
func TestInvalidInputWritesNoPartialReply(t *testing.T) {
	for _, c := range []struct{ in, want string }{
		{frame(request), "unknown instance"},
		{frame(boot, listRestored), "never registered"},
		{frame(boot, registerList, listRestored, strings.Replace(request, `"cls":"x"`, `"cls":"y"`, 1)), "unknown class"},
		{frame(`{"t":"boot","i":"director-0","conf":[]}`), "settings"},
	} {
		var out bytes.Buffer
		err := serve(strings.NewReader(c.in), &out)
		if err == nil || !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), "frame 1") {
			t.Errorf("got error %v, want %q", err, c.want)
		}
		if out.Len() > 0 {
			t.Errorf("partial reply: %s", out.String())
		}
	}
}
