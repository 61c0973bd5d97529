package scheduler

import (
	"os"
	"testing"

	"ambersill/internal/rapidtest"
)

func TestMain(m *testing.M) { os.Exit(rapidtest.Main(m)) }
