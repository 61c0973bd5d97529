package emulator

import (
	"encoding/json"
	"fmt"

	"ambersill/internal/config"
	"ambersill/internal/wire"

	"golang.org/x/time/rate"
)

// limits are the key-value store's limits on what is written.
type limits struct {
	config.StateLimits
	changes *rate.Limiter
}

// Limit sets the limits on what is written from now on; what is stored stays.
func (s *KeyValueStore) Limit(l config.StateLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = &limits{l, rate.NewLimiter(rate.Limit(l.WriteRPS), int(l.WriteRPS))}
}

// Invalid lists why requests were answered 400 so far.
func (s *KeyValueStore) Invalid() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.invalid...)
}

// exceeded tells which limit of size a transaction exceeds; "" if none.
func (l *limits) exceeded(t *rawTxn) string {
	if len(t.Writes) > l.TxnOps {
		return fmt.Sprintf("%d changes in a transaction", len(t.Writes))
	}
	if len(t.Compares) > conditionsPerChange*l.TxnOps {
		return fmt.Sprintf("%d conditions in a transaction", len(t.Compares))
	}
	for _, w := range t.Writes {
		if n := jsonSize(w.Value); n > int(l.ValueKB*1024) {
			return fmt.Sprintf("%d bytes in %s", n, w.Put)
		}
	}
	return ""
}

// conditionsPerChange is how many conditions are allowed for each change, by the protocol.
const conditionsPerChange = 4

// jsonSize is a value's size in the protocol's measure; 0 for what is no value.
func jsonSize(raw wire.Raw) int {
	if len(raw) == 0 {
		return 0
	}
	var plain any
	if wire.Unmarshal(raw, &plain) != nil {
		return 0
	}
	b, err := json.Marshal(textKeys(plain))
	if err != nil {
		return 0
	}
	return len(b)
}

// textKeys turns maps with keys of any type into those that JSON knows.
func textKeys(v any) any {
	switch x := v.(type) {
	case map[any]any:
		out := map[string]any{}
		for k, e := range x {
			out[fmt.Sprint(k)] = textKeys(e)
		}
		return out
	case []any:
		for i := range x {
			x[i] = textKeys(x[i])
		}
	}
	return v
}
