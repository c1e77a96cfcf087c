package wire

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/mailru/easyjson"
)

// Guards against invalid messages that are accepted, or rejected with an error that does not name the cause.
func TestDecodeErrorsNameTheCause(t *testing.T) {
	session := func(raw []byte) error { _, err := DecodeSessionMessage(raw); return err }
	node := func(raw []byte) error { _, err := DecodeNodeMessage(raw); return err }
	discovery := func(raw []byte) error { _, err := DecodeDiscoveryMessage(raw); return err }
	long := strings.Repeat("x", maxIdentifierBytes+1)
	for _, c := range []struct {
		decode    func([]byte) error
		raw, want string
	}{
		{session, `{"t":`, "not a message"},
		{session, `{"t":"want"}`, "no id"},
		{session, `{"t":"want","id":"1"}`, "needs tariff"},
		{session, `{"t":"want","id":"1","tariff":"a","title":"b","key":"k"}`, "wait_ms"},
		{session, `{"t":"want","id":"1","tariff":"a","title":"b","key":"k","wait_ms":5,"top":-1}`, "no rung"},
		{session, `{"t":"shout","id":"1"}`, "unknown message"},
		{session, `{"t":"leave","id":"` + long + `"}`, "longer than"},
		{session, `{"t":"report","id":"1","buffer_s":-3}`, "buffer_s"},
		{node, `{"t":"setup"}`, "no leg"},
		{node, `{"t":"note","leg":1,"kind":9}`, "out of range"},
		{node, `{"t":"note","leg":1,"value":0.5}`, "kind 0"},
		{node, `{"t":"accepted","leg":1,"load":{"link":-1}}`, "load of"},
		{discovery, `{"t":"whole","nodes":[{"state":"up"}]}`, "without a name"},
		{discovery, `{"t":"whole","nodes":[{"node":"a","state":"up"}]}`, "without an address"},
		{discovery, `{"t":"whole","nodes":[{"node":"a","state":"odd"}]}`, "unknown state"},
		{discovery, `{"t":"update","titles":[{"title":"a","base":-1}]}`, "out of range"},
	} {
		if err := c.decode([]byte(c.raw)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%.60s: got %v, want %q", c.raw, err, c.want)
		}
	}
}

// Guards against a "top" of 0, the lowest rung, that is lost by encoding or taken for an absent one.
func TestMaxRungZeroIsNotAbsent(t *testing.T) {
	m, err := DecodeSessionMessage(Encode(SessionMessage{Type: Request, ID: "1", Tariff: "a", Title: "b", Key: "k", WaitMS: 5,
		MaxRung: new(0)}))
	if err != nil || m.MaxRung == nil || *m.MaxRung != 0 {
		t.Fatal(m, err)
	}
}

// Guards against a message that is changed by encoding and decoding it. Simulations in virtual time pass messages
// through the same encoding.
func FuzzRoundTrip(f *testing.F) {
	f.Add([]byte(`{"t":"want","id":"1","tariff":"a","title":"b","key":"k","wait_ms":5,"top":0}`))
	f.Add([]byte(`{"t":"note","leg":1,"kind":3,"value":0.5}`))
	f.Add([]byte(`{"t":"whole","nodes":[{"node":"a","state":"removed"}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		requireRoundTrip := func(first easyjson.Marshaler, err error, decode func([]byte) (any, error)) {
			if err != nil {
				return
			}
			out := Encode(first)
			second, err := decode(out)
			if err != nil {
				t.Fatalf("%s: %v", out, err)
			}
			firstJSON, _ := json.Marshal(first)
			secondJSON, _ := json.Marshal(second)
			if string(firstJSON) != string(secondJSON) {
				t.Fatalf("%s became %s", firstJSON, secondJSON)
			}
		}
		s, err := DecodeSessionMessage(raw)
		requireRoundTrip(s, err, func(b []byte) (any, error) { return DecodeSessionMessage(b) })
		n, err := DecodeNodeMessage(raw)
		requireRoundTrip(n, err, func(b []byte) (any, error) { return DecodeNodeMessage(b) })
		l, err := DecodeDiscoveryMessage(raw)
		requireRoundTrip(l, err, func(b []byte) (any, error) { return DecodeDiscoveryMessage(b) })
	})
}
