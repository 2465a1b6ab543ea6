package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/filbertlever/filbertlever/internal/coordination/outcome"
)

// lineMost bounds a line; the longest that entries write have 1 KB.
const lineMost = 64 << 10

// read counts what was read.
type read struct {
	Files, Lines, Bad int
}

// readDirectory reads all files below a directory. A file may hold the lines of several
// entries; those of one entry are in order.
func readDirectory(directory string, goal time.Duration) ([]outcome.Row, read, error) {
	var day outcome.Day
	var counts read
	err := filepath.WalkDir(directory, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || !entry.Type().IsRegular() {
			return err
		}
		file, err := os.Open(path)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }()
		counts.Files++
		tally := outcome.New(goal)
		if err := readLines(file, tally, &counts); err != nil {
			return fmt.Errorf("read %s: %w", path, err)
		}
		day.Add(tally)
		return nil
	})
	return day.Rows(), counts, err
}

// readLines takes each line. A line may begin with other text, as what gathered the logs
// puts before it.
func readLines(from io.Reader, tally *outcome.Tally, counts *read) error {
	reader := bufio.NewReaderSize(from, lineMost)
	for {
		data, err := reader.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			counts.Lines++
			counts.Bad++
			if err := skipLine(reader); err != nil {
				return ignoreEnd(err)
			}
			continue
		}
		if len(bytes.TrimSpace(data)) > 0 {
			counts.Lines++
			if !takeLine(data, tally) {
				counts.Bad++
			}
		}
		if err != nil {
			return ignoreEnd(err)
		}
	}
}

func ignoreEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// skipLine reads to the end of a line that is too long.
func skipLine(reader *bufio.Reader) error {
	for {
		_, err := reader.ReadSlice('\n')
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// takeLine reports whether a line could be read.
func takeLine(data []byte, tally *outcome.Tally) bool {
	start := bytes.IndexByte(data, '{')
	if start < 0 {
		return false
	}
	var line outcome.Line
	if json.Unmarshal(data[start:], &line) != nil || line.Time.IsZero() || line.Message == "" {
		return false
	}
	tally.Take(&line)
	return true
}
