package wire

import (
	"testing"
)

// benchmarkTasks is the number of tasks in the heartbeat that is decoded.
const benchmarkTasks = 100

func BenchmarkDecodeHeartbeat(b *testing.B) {
	heartbeat := Heartbeat{
		Machine:      "m-000231",
		Address:      "10.1.0.232:9000",
		MachineType:  "g8",
		Zone:         "a",
		Incarnation:  1,
		Sequence:     88,
		FencingToken: 41,
	}
	for i := range benchmarkTasks {
		heartbeat.Tasks = append(heartbeat.Tasks, TaskStatus{Task: TaskName("req-000412", i), Attempt: 2, State: TaskRunning})
	}
	benchmarkDecoding(b, heartbeat, func(encoded []byte) error {
		var decoded Heartbeat
		return Unmarshal(encoded, &decoded)
	})
}

func BenchmarkParseJob(b *testing.B) {
	benchmarkDecoding(b, validJob(), func(encoded []byte) error {
		_, err := ParseJob(encoded)
		return err
	})
}

func benchmarkDecoding(b *testing.B, message any, decode func(encoded []byte) error) {
	encoded, err := Marshal(message)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	b.SetBytes(int64(len(encoded)))
	for b.Loop() {
		if err := decode(encoded); err != nil {
			b.Fatal(err)
		}
	}
}
