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

// maxLineLength bounds a line. The longest lines that entries write have 1 KB.
const maxLineLength = 64 << 10

// readCounts counts the files and lines that were read. Bad is the number of
// lines that could not be parsed.
type readCounts struct {
	Files, Lines, Bad int
}

// readDirectory reads all files below a directory and returns the requests by second and by urgency
// level. A file may hold the lines of several entries. The lines of each entry must be in order.
func readDirectory(directory string, goal time.Duration) ([]outcome.Row, []outcome.LevelRow, readCounts, error) {
	var day outcome.Totals
	var counts readCounts
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
	return day.Rows(), day.Levels(), counts, err
}

// readLines adds each line to tally. A line may begin with other text, as log
// collectors add prefixes.
func readLines(from io.Reader, tally *outcome.Tally, counts *readCounts) error {
	reader := bufio.NewReaderSize(from, maxLineLength)
	for {
		data, err := reader.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			counts.Lines++
			counts.Bad++
			if err := skipLine(reader); err != nil {
				return ignoreEOF(err)
			}
			continue
		}
		if len(bytes.TrimSpace(data)) > 0 {
			counts.Lines++
			if !addLine(data, tally) {
				counts.Bad++
			}
		}
		if err != nil {
			return ignoreEOF(err)
		}
	}
}

// ignoreEOF returns nil if err is io.EOF, and err otherwise.
func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// skipLine discards the rest of a line that is longer than maxLineLength.
func skipLine(reader *bufio.Reader) error {
	for {
		_, err := reader.ReadSlice('\n')
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// addLine parses a line and adds it to tally. It reports whether the line could
// be parsed.
func addLine(data []byte, tally *outcome.Tally) bool {
	start := bytes.IndexByte(data, '{')
	if start < 0 {
		return false
	}
	var line outcome.Line
	if json.Unmarshal(data[start:], &line) != nil || line.Time.IsZero() || line.Message == "" {
		return false
	}
	tally.Add(&line)
	return true
}
