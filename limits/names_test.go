package limits

import "testing"

func TestEveryKindAndStateHasAName(t *testing.T) {
	seen := map[string]bool{}
	for k := ConnectRequest; k <= TimerFired; k++ {
		if name := k.String(); name == "" || seen[name] {
			t.Errorf("event %d has the name %q, which is empty or that of another", k, name)
		}
		seen[k.String()] = true
	}
	clear(seen)
	for s := closed; s <= evicting; s++ {
		if name := s.String(); name == "" || seen[name] {
			t.Errorf("state %d has the name %q, which is empty or that of another", s, name)
		}
		seen[s.String()] = true
	}
}
