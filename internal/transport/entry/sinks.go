package entry

import (
	"strings"

	"connectrpc.com/connect"

	filbertleverv1 "github.com/filbertlever/filbertlever/pkg/api/filbertlever/v1"
)

// sink receives the parts of an answer.
type sink interface {
	Start(v version) error
	Tokens(offset uint32, pieces []string) error
}

// streamSink sends each part to the caller immediately.
type streamSink struct {
	out *connect.ServerStream[filbertleverv1.AskResponse]
}

// Start sends the version that generates the answer.
func (s *streamSink) Start(v version) error {
	return s.out.Send(&filbertleverv1.AskResponse{Event: &filbertleverv1.AskResponse_Start{
		Start: &filbertleverv1.Start{ModelVersion: v.Name, VersionDigest: string(v.Model)},
	}})
}

// Tokens sends a part of the answer.
func (s *streamSink) Tokens(offset uint32, pieces []string) error {
	return s.out.Send(&filbertleverv1.AskResponse{Event: &filbertleverv1.AskResponse_Tokens{
		Tokens: &filbertleverv1.Tokens{Offset: offset, Pieces: pieces},
	}})
}

// bufferSink collects the complete answer.
type bufferSink struct {
	version version
	text    strings.Builder
}

// Start stores the version that generates the answer.
func (s *bufferSink) Start(v version) error {
	s.version = v
	return nil
}

// Tokens appends a part of the answer.
func (s *bufferSink) Tokens(_ uint32, pieces []string) error {
	for _, piece := range pieces {
		s.text.WriteString(piece)
	}
	return nil
}
