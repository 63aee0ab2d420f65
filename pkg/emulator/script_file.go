package emulator

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Script files: gzip of the JSON encoding of Script. The types in script.go and fault_kinds.go are the schema.

// maxScriptBytes bounds the uncompressed size of a script, in bytes.
const maxScriptBytes = 32 << 20

// MarshalJSON encodes a specification as protobuf JSON.
func (j JobSpec) MarshalJSON() ([]byte, error) { return protojson.Marshal(j.JobSpec) }

// UnmarshalJSON decodes a specification and refuses unknown fields.
func (j *JobSpec) UnmarshalJSON(text []byte) error {
	j.JobSpec = &wire.JobSpec{}
	if err := protojson.Unmarshal(text, j.JobSpec); err != nil {
		return fault.New(fault.BadInput, "Spec", err.Error(), "")
	}
	return nil
}

// Encode returns the content of the script's file.
func (s *Script) Encode() ([]byte, error) {
	text, err := json.Marshal(s)
	if err != nil {
		return nil, fault.New(fault.Internal, "script", "can't be written", "").WithCause(err)
	}
	var file bytes.Buffer
	z, err := gzip.NewWriterLevel(&file, gzip.BestCompression)
	if err != nil {
		return nil, fault.New(fault.Internal, "script", "can't be compressed", "").WithCause(err)
	}
	if _, err := z.Write(text); err != nil {
		return nil, fault.New(fault.Internal, "script", "can't be compressed", "").WithCause(err)
	}
	if err := z.Close(); err != nil {
		return nil, fault.New(fault.Internal, "script", "can't be compressed", "").WithCause(err)
	}
	return file.Bytes(), nil
}

// DecodeScript decodes a script file. It returns an error with the name of the file and the field for anything that the
// emulator could not play as written.
func DecodeScript(name string, file []byte) (*Script, error) {
	text, err := uncompress(name, file)
	if err != nil {
		return nil, err
	}
	var head struct{ Version int }
	if err := json.Unmarshal(text, &head); err != nil {
		return nil, invalidScript(name, err)
	}
	if head.Version != ScriptVersion {
		return nil, fault.New(fault.BadInput, name, "Version: "+quote(head.Version)+" is not a supported version", "record the day again")
	}
	s := &Script{}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(s); err != nil {
		return nil, invalidScript(name, err)
	}
	if err := s.Check(name); err != nil {
		return nil, err
	}
	return s, nil
}

// uncompress returns the uncompressed text, or an error if it exceeds maxScriptBytes.
func uncompress(name string, file []byte) ([]byte, error) {
	z, err := gzip.NewReader(bytes.NewReader(file))
	if err != nil {
		return nil, invalidScript(name, err)
	}
	text, err := io.ReadAll(io.LimitReader(z, maxScriptBytes+1))
	if err != nil {
		return nil, invalidScript(name, err)
	}
	if len(text) > maxScriptBytes {
		return nil, fault.New(fault.TooLarge, name, "is longer than a script may be", "")
	}
	return text, nil
}

func invalidScript(name string, cause error) error {
	return fault.New(fault.BadInput, name, "is not a script", "").WithCause(cause)
}

// Check returns an error if the emulator could not play the script as written. The error names the script by name.
func (s *Script) Check(name string) error {
	if field, problem := s.check(); problem != "" {
		return fault.New(fault.BadInput, name, field+": "+problem, "")
	}
	return nil
}
