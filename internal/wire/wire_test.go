package wire

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/mailru/easyjson"
)

func TestDecodeErrorsNameTheCause(t *testing.T) {
	session := func(raw []byte) error { _, err := DecodeSessionMessage(raw); return err }
	node := func(raw []byte) error { _, err := DecodeNodeMessage(raw); return err }
	list := func(raw []byte) error { _, err := DecodeDiscoveryMessage(raw); return err }
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
		{list, `{"t":"whole","nodes":[{"state":"up"}]}`, "without a name"},
		{list, `{"t":"whole","nodes":[{"node":"a","state":"up"}]}`, "without an address"},
		{list, `{"t":"whole","nodes":[{"node":"a","state":"odd"}]}`, "unknown state"},
		{list, `{"t":"update","titles":[{"title":"a","base":-1}]}`, "out of range"},
	} {
		if err := c.decode([]byte(c.raw)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%.60s: %v, wanted %q", c.raw, err, c.want)
		}
	}
}

// Rung 0 is the lowest, not an absent one.
func TestMaxRungZeroIsNotAbsent(t *testing.T) {
	m, err := DecodeSessionMessage(Encode(SessionMessage{Type: Request, ID: "1", Tariff: "a", Title: "b", Key: "k", WaitMS: 5, MaxRung: new(0)}))
	if err != nil || m.MaxRung == nil || *m.MaxRung != 0 {
		t.Fatal(m, err)
	}
}

// What Encode writes is read back the same: the seam that virtual time crosses too.
func FuzzRoundTrip(f *testing.F) {
	f.Add([]byte(`{"t":"want","id":"1","tariff":"a","title":"b","key":"k","wait_ms":5,"top":0}`))
	f.Add([]byte(`{"t":"note","leg":1,"kind":3,"value":0.5}`))
	f.Add([]byte(`{"t":"whole","nodes":[{"node":"a","state":"removed"}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		same := func(first easyjson.Marshaler, err error, again func([]byte) (any, error)) {
			if err != nil {
				return
			}
			out := Encode(first)
			second, err := again(out)
			if err != nil {
				t.Fatalf("%s: %v", out, err)
			}
			one, _ := json.Marshal(first)
			two, _ := json.Marshal(second)
			if string(one) != string(two) {
				t.Fatalf("%s, then %s", one, two)
			}
		}
		s, err := DecodeSessionMessage(raw)
		same(s, err, func(b []byte) (any, error) { return DecodeSessionMessage(b) })
		n, err := DecodeNodeMessage(raw)
		same(n, err, func(b []byte) (any, error) { return DecodeNodeMessage(b) })
		l, err := DecodeDiscoveryMessage(raw)
		same(l, err, func(b []byte) (any, error) { return DecodeDiscoveryMessage(b) })
	})
}
