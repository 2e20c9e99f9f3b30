//! Encodes DNS answers like those of a resolver.

use orchidtally_platform_discovery::SERVICE;
use simple_dns::rdata::{A, RData, SOA, SRV, TXT};
use simple_dns::{CLASS, Name, Packet, PacketFlag, QCLASS, QTYPE, Question, ResourceRecord, TYPE};
use std::net::Ipv4Addr;

fn name(text: &str) -> Name<'_> {
    Name::new(text).expect("a valid name")
}

/// Encodes an answer that lists SRV targets, each with its priority.
pub fn encode_answer(id: u16, serial: u32, targets: &[(&str, u16)], compressed: bool) -> Vec<u8> {
    let mut packet = Packet::new_reply(id);
    packet.set_flags(PacketFlag::RESPONSE);
    packet.questions.push(Question::new(
        name(SERVICE),
        QTYPE::TYPE(TYPE::SRV),
        QCLASS::CLASS(CLASS::IN),
        false,
    ));
    for &(target, priority) in targets {
        let srv = SRV {
            priority,
            weight: 40,
            port: 4100,
            target: name(target),
        };
        packet.answers.push(ResourceRecord::new(
            name(SERVICE),
            CLASS::IN,
            0,
            RData::SRV(srv),
        ));
        let a = A::from(Ipv4Addr::new(10, 1, 0, 9));
        packet.additional_records.push(ResourceRecord::new(
            name(target),
            CLASS::IN,
            0,
            RData::A(a),
        ));
        let mut txt = TXT::new();
        for text in ["kind=std", "cell=2", "started=1500"] {
            txt.add_string(text).expect("a valid string");
        }
        packet.additional_records.push(ResourceRecord::new(
            name(target),
            CLASS::IN,
            0,
            RData::TXT(txt),
        ));
    }
    let soa = SOA {
        mname: name("farm.lan"),
        rname: name("farm.lan"),
        serial,
        refresh: 1,
        retry: 1,
        expire: 1,
        minimum: 0,
    };
    packet.name_servers.push(ResourceRecord::new(
        name("farm.lan"),
        CLASS::IN,
        0,
        RData::SOA(soa),
    ));
    let encoded = if compressed {
        packet.build_bytes_vec_compressed()
    } else {
        packet.build_bytes_vec()
    };
    encoded.expect("a valid packet")
}
