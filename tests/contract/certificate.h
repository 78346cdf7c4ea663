// Certificates for tests of TLS.
#ifndef BS_CONTRACT_CERTIFICATE_H
#define BS_CONTRACT_CERTIFICATE_H

#include <string>

// Writes a new self-signed certificate for 127.0.0.1 and its key.
void WritePair(const std::string &certificate_file,
               const std::string &key_file);

#endif // BS_CONTRACT_CERTIFICATE_H
