package records

import "testing"

func TestParseChunkKeyInvertsChunkKey(t *testing.T) {
	for _, name := range []string{firstChunkName, "7", ExplicitChunkName(300)} {
		key := ChunkKey(3, "req-1", name)
		id, parsedName, ok := ParseChunkKey(key)
		if id != "req-1" || parsedName != name || !ok {
			t.Errorf("ParseChunkKey(%q): got job %q, name %q, %v, want job req-1 and the name in the key", key, id, parsedName, ok)
		}
	}
	for _, key := range []string{"", JobKey("req-1"), JournalPrefix(3) + "4", ChunkKey(3, "req-1", "0/1")} {
		if id, name, ok := ParseChunkKey(key); ok {
			t.Errorf("ParseChunkKey(%q): got job %q, name %q, want not ok", key, id, name)
		}
	}
}

// The formats of stored keys must not change, since later versions of the program must find them.
func TestStoredKeyFormats(t *testing.T) {
	keys := map[string]string{
		PartitionKey(3):                "c/p/3",
		JobKey("req-1"):                "j/req-1",
		FirstChunkKey(3, "req-1"):      "a/3/req-1/0",
		ChunkKey(3, "req-1", "t300"):   "a/3/req-1/t300",
		CancellationKey(3, "req-1"):    "x/3/req-1",
		JournalPrefix(3):               "g/3/",
		SummaryKey(3):                  "s/3",
		MachineDigestsKey(3, 1):        "s/3/1",
		OverflowDemandKey(3, 1):        "s/3/w1",
		ExplicitChunkName(300):         "t300",
		LeaderKey + " " + RentalPrefix: "c/lead c/h/",
	}
	for got, want := range keys {
		if got != want {
			t.Errorf("format of a stored key: got %q, want %q", got, want)
		}
	}
}
